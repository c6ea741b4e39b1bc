/** Tests of settings. */
package io.foxtaildoor.process.settings;
