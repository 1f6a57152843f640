/** Versioned configuration: what operators declare, how changes are decided, and checkpoints. */
package org.banyanstair.configuration;
