/** Error budget burn rates: how fast the services consume the errors that their objectives allow. */
package org.banyanstair.burn;
