/** Reading of declarations files. */
package org.banyanstair.cli.declarations;
