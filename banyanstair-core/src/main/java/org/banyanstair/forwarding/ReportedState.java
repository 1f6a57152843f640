package org.banyanstair.forwarding;

/** What usage reports carry besides the usage of endpoints. */
record ReportedState(TeamAdmission teams, StreamVersions streams) {}
