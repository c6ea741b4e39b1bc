/** Stand-ins of the users' managed platform: its metadata store and an upstream instance. */
package io.foxtaildoor.standins.managed;
