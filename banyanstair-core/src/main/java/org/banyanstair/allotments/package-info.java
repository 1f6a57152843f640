/** Whether a team has tokens left, over all hosts together. */
package org.banyanstair.allotments;
