package org.banyanstair.integration.bench;

import java.io.IOException;
import java.nio.file.Path;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;

/** Writes a plot of measured points and the line fitted to them as a PNG file. */
final class Plot {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 500;

    private Plot() {}

    static void write(Path file, String title, String xTitle, String yTitle, double[] x, double[] y)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
        chart.addSeries("measured", x, y).setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
        LinearFit fit = LinearFit.of(x, y);
        double[] ends = {x[0], x[x.length - 1]};
        chart.addSeries("fit", ends, new double[] {fit.at(ends[0]), fit.at(ends[1])});
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
