/** Stand-in for the platform's weight store. */
package org.banyanstair.testsupport.weights;
