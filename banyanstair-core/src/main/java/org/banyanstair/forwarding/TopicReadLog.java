package org.banyanstair.forwarding;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;

/** Writes what reads of the topics have shown to the decision log, bounded in volume. */
final class TopicReadLog {
    /** Refused reads of a topic in a row that are logged; a read that is not refused starts again. */
    private static final int MAXIMUM_LOGGED_EXPIRATIONS = 3;

    /** Keys of ignored records that are logged for each read. */
    private static final int MAXIMUM_LOGGED_KEYS = 5;

    private final EventContext context;
    private final Map<Topic, Integer> expiredReads = new EnumMap<>(Topic.class);

    TopicReadLog(EventContext context) {
        this.context = context;
    }

    /** Logs what a snapshot has changed, unless it is the first. */
    void snapshotRead(ForwardingEvent.TopicRead event, LogPosition knownEnd, List<TopicRecord> newRecords) {
        int expired = Optional.ofNullable(expiredReads.remove(event.topic())).orElse(0);
        if (knownEnd.isRead() && expired <= MAXIMUM_LOGGED_EXPIRATIONS) {
            context.log(DecisionRecord.important(
                    "topic-snapshot",
                    "topic",
                    event.topic(),
                    "end",
                    event.end(),
                    "known-end",
                    knownEnd,
                    "records",
                    event.records().size(),
                    "new-records",
                    newRecords.size()));
        }
        if (event.end().isBefore(knownEnd)) {
            expiredReads.put(event.topic(), expired);
        }
    }

    /** Logs which records of a read are not newer than what is known. */
    void recordsRead(ForwardingEvent.TopicRead event, LogPosition end, List<TopicRecord> newRecords) {
        List<String> dropped = event.records().stream()
                .filter(entry -> !newRecords.contains(entry))
                .map(TopicRecord::key)
                .limit(MAXIMUM_LOGGED_KEYS)
                .toList();
        if (!dropped.isEmpty()) {
            context.log(DecisionRecord.of(
                    "records-dropped", "topic", event.topic(), "end", event.end(), "known-end", end, "keys", dropped));
        }
    }

    /** Logs that a read was refused, because the topic does not hold the position that it began at. */
    void readExpired(Topic topic, LogPosition from, long era) {
        if (expiredReads.merge(topic, 1, Integer::sum) <= MAXIMUM_LOGGED_EXPIRATIONS) {
            context.log(DecisionRecord.important("topic-expired", "topic", topic, "from", from, "log-era", era));
        }
    }
}
