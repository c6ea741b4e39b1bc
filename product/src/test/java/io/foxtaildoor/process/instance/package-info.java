/** Tests of the reports of instances. */
package io.foxtaildoor.process.instance;
