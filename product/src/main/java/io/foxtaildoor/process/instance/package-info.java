/** Reports of the upstream instance beside a node, and what is kept of an instance that leaves. */
package io.foxtaildoor.process.instance;
