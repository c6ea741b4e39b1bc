/** Small stand-ins for what surrounds the product. */
package io.foxtaildoor.standins;
