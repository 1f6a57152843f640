package org.banyanstair.integration.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;

/**
 * Least-squares line through points.
 *
 * @param intercept value at 0
 * @param slope change of the value for 1 more
 * @param determination share of the variance that the line explains, 1 if the values do not vary
 */
record LinearFit(double intercept, double slope, double determination) {
    static LinearFit of(double[] x, double[] y) {
        if (x.length != y.length || x.length < 2) {
            throw new IllegalArgumentException("a line needs at least two points with both coordinates");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double xx = 0;
        double xy = 0;
        double yy = 0;
        for (int i = 0; i < x.length; i++) {
            xx += (x[i] - meanX) * (x[i] - meanX);
            xy += (x[i] - meanX) * (y[i] - meanY);
            yy += (y[i] - meanY) * (y[i] - meanY);
        }
        double slope = xy / xx;
        return new LinearFit(meanY - slope * meanX, slope, yy == 0 ? 1 : slope * xy / yy);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    double at(double x) {
        return intercept + slope * x;
    }

    ObjectNode json() {
        return Mappers.JSON
                .createObjectNode()
                .put("intercept", intercept)
                .put("slope", slope)
                .put("determination", determination);
    }
}
