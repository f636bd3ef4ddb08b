#!/usr/bin/env python3
"""Draws one field of all arms at one load as an SVG bar chart."""
import sys

import policytable

COLOURS = ("#bbbbbb", "#999999", "#555555", "#c9a227", "#7fb3d5", "#2e86c1",
           "#58d68d", "#1e8449")
BAR, GAP, LEFT, CHART = 9, 14, 150, 600


def main():
    load, field = float(sys.argv[2]), sys.argv[3]
    cells = {key: arms for key, arms in policytable.read(sys.argv[1]).items()
             if key[2] == load}
    rows = [(key, [policytable.median(arms[a], field)
                   for a in policytable.ARMS])
            for key, arms in sorted(cells.items())]
    most = max((max(values) for _, values in rows), default=1) or 1
    height = 60 + len(rows) * (len(COLOURS) * BAR + GAP)
    print(f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT + CHART + 90}"'
          f' height="{height}" font-family="sans-serif" font-size="10">')
    print(f'<text x="10" y="16" font-size="13">{field} at load {load} '
          '(virtual-time model)</text>')
    for index, arm in enumerate(policytable.ARMS):
        x = 10 + index % 4 * 180
        y = 32 + index // 4 * 14
        print(f'<rect x="{x}" y="{y - 8}" width="8" height="8" '
              f'fill="{COLOURS[index]}"/><text x="{x + 12}" y="{y}">{arm}</text>')
    top = 62
    for key, values in rows:
        print(f'<text x="10" y="{top + 30}">{key[0]} {key[1]}</text>')
        for index, value in enumerate(values):
            y = top + index * BAR
            width = CHART * value / most
            print(f'<rect x="{LEFT}" y="{y}" width="{width:.0f}" '
                  f'height="{BAR - 1}" fill="{COLOURS[index]}"/>')
            print(f'<text x="{LEFT + width + 4:.0f}" y="{y + 8}">'
                  f'{value:.3g}</text>')
        top += len(COLOURS) * BAR + GAP
    print("</svg>")


main()
