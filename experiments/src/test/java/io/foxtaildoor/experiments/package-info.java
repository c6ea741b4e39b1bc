/** Tests of the calculations and parsers that the experiments use. */
package io.foxtaildoor.experiments;
