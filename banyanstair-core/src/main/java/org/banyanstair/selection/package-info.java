/** Which endpoint gets a request when many hosts know the same old loads; pure decisions. */
package org.banyanstair.selection;
