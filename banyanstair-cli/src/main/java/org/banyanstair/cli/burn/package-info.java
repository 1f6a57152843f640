/** Report of the error budget burn rates of services. */
package org.banyanstair.cli.burn;
