/**
 * Processing of the status reports of the upstream instance on a node's host, and storage of its
 * last departure.
 */
package io.foxtaildoor.process.instance;
