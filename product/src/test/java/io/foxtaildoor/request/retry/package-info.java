/** Tests of the retry decision and the calculation of its multiplication. */
package io.foxtaildoor.request.retry;
