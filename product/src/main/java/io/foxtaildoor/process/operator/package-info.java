/** HTTP/JSON interface for operators, local upstreams, metrics and health. */
package io.foxtaildoor.process.operator;
