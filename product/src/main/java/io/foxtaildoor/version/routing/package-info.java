/** Routes and services of one configuration version, in the form that requests look them up. */
package io.foxtaildoor.version.routing;
