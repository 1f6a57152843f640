/** Open-loop load, adapter popularity and a client of the caller protocol. */
package org.banyanstair.testsupport.load;
