/** Tests of the processing of instance reports. */
package io.foxtaildoor.process.instance;
