/** Records what callers saw and checks it against what endpoints ran. */
package org.banyanstair.testsupport.history;
