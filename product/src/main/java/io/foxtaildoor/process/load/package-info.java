/** Open-loop load generator for HTTP/1.1, with reports. */
package io.foxtaildoor.process.load;
