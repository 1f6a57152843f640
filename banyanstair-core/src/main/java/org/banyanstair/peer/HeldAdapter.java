package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.AdapterName;

/**
 * An adapter of a runner, as the host that commands the runner knows it.
 *
 * @param name the adapter
 * @param version its version
 * @param readyInMilliseconds time until it can be used, 0 if it can
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeldAdapter(AdapterName name, long version, long readyInMilliseconds) {}
