/** Tests of the platform client, the reader election and the config reader. */
package io.foxtaildoor.process.platform;
