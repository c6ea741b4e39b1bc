/** Routes and services of one configuration version, indexed for the lookup by requests. */
package io.foxtaildoor.version.routing;
