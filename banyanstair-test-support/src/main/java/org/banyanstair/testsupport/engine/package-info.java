/** Stand-in of a model engine with continuous batching, adapter slots and faults that can be set at run time. */
package org.banyanstair.testsupport.engine;
