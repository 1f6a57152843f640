package org.banyanstair.server.daemon;

import org.banyanstair.model.HostId;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Notice;
import org.tinylog.Logger;

/** Logs the notices of the reducer, one line each. */
final class NoticeLogger {
    private final HostId host;

    NoticeLogger(HostId host) {
        this.host = host;
    }

    void write(Effect.Report report) {
        Notice notice = report.notice();
        boolean normal = notice instanceof Notice.ConfigurationInForce
                || notice instanceof Notice.PoolOwned
                || notice instanceof Notice.PoolTaken;
        if (normal) {
            Logger.info("host={} {}", host, notice);
        } else {
            Logger.warn("host={} {}", host, notice);
        }
    }
}
