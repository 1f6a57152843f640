/** Network fault injection between processes. */
package org.banyanstair.testsupport.network;
