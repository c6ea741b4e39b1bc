/** Tests of the operator interface. */
package io.foxtaildoor.process.operator;
