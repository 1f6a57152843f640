/** Stand-in for a plain service that accepts orders and stock lookups. */
package org.banyanstair.testsupport.service;
