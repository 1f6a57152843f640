/** Stand-in of a plain service with an order desk and a stock lookup. */
package org.banyanstair.testsupport.service;
