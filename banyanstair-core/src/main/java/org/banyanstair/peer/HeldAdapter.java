package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.AdapterName;

/**
 * An adapter on a runner, as known to the host that controls the runner.
 *
 * @param readyInMilliseconds expected time until the adapter can be used, 0 if it is ready
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeldAdapter(AdapterName name, long version, long readyInMilliseconds) {}
