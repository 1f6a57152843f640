/** The service-level burn report. */
package org.banyanstair.cli.burn;
