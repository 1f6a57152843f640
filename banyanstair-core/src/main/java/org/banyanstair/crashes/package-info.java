/** Finds out which part of the requests on crashed endpoints has crashed them. */
package org.banyanstair.crashes;
