/** Tests of the admission in virtual time. */
package io.foxtaildoor.request.admission;
