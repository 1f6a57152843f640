/** The replicated configuration: the declarations of operators, optimistic concurrency control, and checkpoints. */
package org.banyanstair.configuration;
