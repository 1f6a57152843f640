/** Service-level burn: how fast a service uses up the failures that its objective allows. */
package org.banyanstair.burn;
