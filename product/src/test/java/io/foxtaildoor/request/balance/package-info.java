/** Tests of the upstream selection and its comparison with simpler policies. */
package io.foxtaildoor.request.balance;
