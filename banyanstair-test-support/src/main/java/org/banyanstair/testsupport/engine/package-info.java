/** Stand-in for a model engine with continuous batching, adapter slots and fault injection at run time. */
package org.banyanstair.testsupport.engine;
