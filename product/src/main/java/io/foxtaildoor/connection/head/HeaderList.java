package io.foxtaildoor.connection.head;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Headers of one message in the order in which they were added. Messages have few headers, so names
 * are found by comparison instead of a hash table, which costs a node that has just started far
 * less processor time. Names and values are validated when they are added. Not thread-safe.
 */
public final class HeaderList extends HttpHeaders {
  /** Creates header lists for the HTTP codecs. */
  public static final HttpHeadersFactory FACTORY = new Factory();

  private static final int INITIAL_CAPACITY = 8;

  private String[] names = new String[INITIAL_CAPACITY];
  private String[] values = new String[INITIAL_CAPACITY];
  private int size;

  private static final class Factory implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return new HeaderList();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new HeaderList();
    }
  }

  /**
   * Adds a header.
   *
   * @throws IllegalArgumentException when the name is not a token of HTTP or the value contains
   *     characters that a header must not contain
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    if (name.isEmpty() || HttpHeaderValidationUtil.validateToken(name) >= 0) {
      throw new IllegalArgumentException("malformed header name");
    }
    String text = value.toString();
    if (HttpHeaderValidationUtil.validateValidHeaderValue(text) >= 0) {
      throw new IllegalArgumentException("malformed value of header " + name);
    }
    append(name.toString(), text);
    return this;
  }

  private void append(String name, String value) {
    if (size == names.length) {
      names = Arrays.copyOf(names, 2 * size);
      values = Arrays.copyOf(values, 2 * size);
    }
    names[size] = name;
    values[size] = value;
    size++;
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    return add((CharSequence) name, value);
  }

  @Override
  public HttpHeaders add(String name, Iterable<?> newValues) {
    newValues.forEach(value -> add(name, value));
    return this;
  }

  @Override
  public HttpHeaders addInt(CharSequence name, int value) {
    return add(name, Integer.toString(value));
  }

  @Override
  public HttpHeaders addShort(CharSequence name, short value) {
    return add(name, Short.toString(value));
  }

  @Override
  public HttpHeaders set(String name, Object value) {
    return remove(name).add(name, value);
  }

  @Override
  public HttpHeaders set(String name, Iterable<?> newValues) {
    return remove(name).add(name, newValues);
  }

  @Override
  public HttpHeaders setInt(CharSequence name, int value) {
    return set(name, Integer.toString(value));
  }

  @Override
  public HttpHeaders setShort(CharSequence name, short value) {
    return set(name, Short.toString(value));
  }

  @Override
  public HttpHeaders remove(String name) {
    int kept = 0;
    for (int i = 0; i < size; i++) {
      if (!name.equalsIgnoreCase(names[i])) {
        names[kept] = names[i];
        values[kept] = values[i];
        kept++;
      }
    }
    size = kept;
    return this;
  }

  @Override
  public HttpHeaders clear() {
    size = 0;
    return this;
  }

  /** Returns the index of the first header of a name at or after an index, or -1. */
  public int indexOf(String name, int from) {
    for (int i = from; i < size; i++) {
      if (name.equalsIgnoreCase(names[i])) {
        return i;
      }
    }
    return -1;
  }

  @Override
  public String get(String name) {
    int index = indexOf(name, 0);
    return index < 0 ? null : values[index];
  }

  @Override
  public List<String> getAll(String name) {
    int index = indexOf(name, 0);
    if (index < 0) {
      return List.of();
    }
    List<String> all = new ArrayList<>(1);
    for (; index >= 0; index = indexOf(name, index + 1)) {
      all.add(values[index]);
    }
    return all;
  }

  @Override
  public boolean contains(String name) {
    return indexOf(name, 0) >= 0;
  }

  @Override
  public Integer getInt(CharSequence name) {
    String value = get(name);
    return value == null ? null : Integer.valueOf(value);
  }

  @Override
  public int getInt(CharSequence name, int defaultValue) {
    String value = get(name);
    return value == null ? defaultValue : Integer.parseInt(value);
  }

  @Override
  public Short getShort(CharSequence name) {
    String value = get(name);
    return value == null ? null : Short.valueOf(value);
  }

  @Override
  public short getShort(CharSequence name, short defaultValue) {
    String value = get(name);
    return value == null ? defaultValue : Short.parseShort(value);
  }

  @Override
  public Long getTimeMillis(CharSequence name) {
    throw new UnsupportedOperationException("dates are not parsed");
  }

  @Override
  public long getTimeMillis(CharSequence name, long defaultValue) {
    throw new UnsupportedOperationException("dates are not parsed");
  }

  /** Returns the name of the header at an index. */
  public String nameAt(int index) {
    return names[index];
  }

  /** Returns the value of the header at an index. */
  public String valueAt(int index) {
    return values[index];
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public boolean isEmpty() {
    return size == 0;
  }

  @Override
  public Set<String> names() {
    Set<String> distinct = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    distinct.addAll(Arrays.asList(names).subList(0, size));
    return distinct;
  }

  @Override
  public List<Map.Entry<String, String>> entries() {
    return IntStream.range(0, size).mapToObj(i -> Map.entry(names[i], values[i])).toList();
  }

  @Override
  @SuppressWarnings("deprecation") // The superclass deprecates the method but requires it.
  public Iterator<Map.Entry<String, String>> iterator() {
    return new EntryIterator<>(i -> Map.entry(names[i], values[i]));
  }

  @Override
  public Iterator<Map.Entry<CharSequence, CharSequence>> iteratorCharSequence() {
    return new EntryIterator<>(i -> Map.entry(names[i], values[i]));
  }

  private final class EntryIterator<T> implements Iterator<T> {
    private final IntFunction<T> entryAt;
    private int next;

    EntryIterator(IntFunction<T> entryAt) {
      this.entryAt = entryAt;
    }

    @Override
    public boolean hasNext() {
      return next < size;
    }

    @Override
    public T next() {
      if (next >= size) {
        throw new NoSuchElementException();
      }
      return entryAt.apply(next++);
    }
  }
}
