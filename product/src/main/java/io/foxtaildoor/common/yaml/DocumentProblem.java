package io.foxtaildoor.common.yaml;

/**
 * Error in a document, with its place.
 *
 * @param path keys from the root, joined by dots, with list indexes in brackets; empty for the
 *     whole document
 * @param line line number, starting at 1
 */
public record DocumentProblem(String path, int line, String message) {}
