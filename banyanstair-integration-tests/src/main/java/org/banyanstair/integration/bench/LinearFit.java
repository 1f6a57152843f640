package org.banyanstair.integration.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;

/**
 * A line fitted to points by least squares.
 *
 * @param intercept value of the line at 0
 * @param slope change of the value per unit
 * @param determination coefficient of determination, 1 if all values are equal
 */
record LinearFit(double intercept, double slope, double determination) {
    static LinearFit of(double[] x, double[] y) {
        if (x.length != y.length || x.length < 2) {
            throw new IllegalArgumentException("a fit needs two arrays of equal length with at least two values");
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
