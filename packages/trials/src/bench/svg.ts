/** Draws a comparison as SVG, with one small bar chart for each measure.
 *
 * @module
 */
import { formatNumber } from "./stated_targets.ts";
import type { Spread } from "./stats.ts";

/** One bar: the median, with a line for the range over the seeds. */
export interface Bar {
  readonly label: string;
  readonly value: Spread;
}

/** One chart with its title and bars. */
export interface Chart {
  readonly title: string;
  readonly bars: readonly Bar[];
  /** The stated performance target, drawn as a dashed line. */
  readonly target?: number;
}

const WIDTH = 420;
const ROW_HEIGHT = 18;
const TITLE_HEIGHT = 28;
const LABEL_WIDTH = 150;
const VALUE_WIDTH = 110;
const PLOT_WIDTH = WIDTH - LABEL_WIDTH - VALUE_WIDTH;

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}

function finiteOrZero(value: number): number {
  return Number.isFinite(value) ? value : 0;
}

function drawBar(
  bar: Bar,
  layout: { readonly y: number; readonly scale: number },
): string {
  const { median, min, max } = bar.value;
  const { y, scale } = layout;
  const text = `${formatNumber(median)} (${formatNumber(min)}-${
    formatNumber(max)
  })`;
  const middle = y + ROW_HEIGHT / 2;
  return [
    `<text x="0" y="${middle + 4}">${escape(bar.label)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${y + 3}" width="${
      finiteOrZero(median) * scale
    }" ` +
    `height="${ROW_HEIGHT - 6}" fill="#4a7a8c"/>`,
    `<line x1="${LABEL_WIDTH + finiteOrZero(min) * scale}" y1="${middle}" ` +
    `x2="${
      LABEL_WIDTH + finiteOrZero(max) * scale
    }" y2="${middle}" stroke="#222"/>`,
    `<text x="${LABEL_WIDTH + PLOT_WIDTH + 6}" y="${
      middle + 4
    }">${text}</text>`,
  ].join("\n");
}

function drawChart(chart: Chart, top: number): string {
  const values = chart.bars.flatMap(({ value }) => [value.median, value.max]);
  const max_value = Math.max(
    1e-9,
    chart.target ?? 0,
    ...values.map((value) => finiteOrZero(value)),
  );
  const scale = PLOT_WIDTH / max_value;
  const bars = chart.bars.map((bar, i) =>
    drawBar(bar, { y: top + TITLE_HEIGHT + i * ROW_HEIGHT, scale })
  );
  const x = LABEL_WIDTH + (chart.target ?? 0) * scale;
  const line = chart.target === undefined
    ? ""
    : `<line x1="${x}" y1="${top + TITLE_HEIGHT}" x2="${x}" y2="${
      top + TITLE_HEIGHT + chart.bars.length * ROW_HEIGHT
    }" ` +
      `stroke="#b03030" stroke-dasharray="4 3"/>`;
  const title = `<text x="0" y="${top + 18}" font-weight="bold">${
    escape(chart.title)
  }</text>`;
  return [title, ...bars, line].join("\n");
}

/** Draws the charts below one another. Returns the text of an SVG file. */
export function drawCharts(charts: readonly Chart[]): string {
  let top = 0;
  const parts = charts.map((chart) => {
    const part = drawChart(chart, top);
    top += TITLE_HEIGHT + chart.bars.length * ROW_HEIGHT + 10;
    return part;
  });
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${top}" font-family="sans-serif" font-size="11">\n` +
    `<rect width="100%" height="100%" fill="white"/>\n` +
    `${parts.join("\n")}\n</svg>\n`;
}
