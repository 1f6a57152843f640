/** Load generators, operator clients and pollers for tests of configuration changes and of leaving and stopping hosts. */
package org.banyanstair.integration.hosts;
