/** Test doubles, run as processes, of the systems that a node talks to: platform and upstreams. */
package io.foxtaildoor.standins;
