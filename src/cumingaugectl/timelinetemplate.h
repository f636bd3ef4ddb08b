#pragma once

namespace cumingauge::ctl {

/// HTML page of `timeline`; "@DATA@" is replaced by its events as JSON.
constexpr const char *TimelineTemplate = R"html(<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>cumingauge time line</title>
<style>
  body { font: 14px system-ui, sans-serif; margin: 16px; color: #222; }
  h1 { font-size: 20px; margin: 0 0 4px; }
  #summary { margin: 8px 0; font-size: 15px; font-weight: 600; min-height: 20px; }
  #controls > * { margin-right: 12px; }
  #legend span { margin-right: 14px; white-space: nowrap; }
  #legend i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 4px; }
  svg { width: 100%; border: 1px solid #ccc; margin: 8px 0; cursor: grab; user-select: none; }
  svg text { font-size: 12px; fill: #333; }
  .lane { stroke: #e4e4e4; }
  .grid { stroke: #eee; }
  .path { fill: none; stroke: #1668c5; stroke-width: 1; opacity: .55; }
  .faded { opacity: .15; }
  table { border-collapse: collapse; }
  td, th { text-align: left; padding: 2px 12px 2px 0; font-size: 13px; vertical-align: top; }
  tr.marked { background: #fff3c4; }
  #note { color: #666; }
</style>
<h1>Time line of the entry processes</h1>
<div id="note"></div>
<p id="controls">
  <label>Change <select id="change"></select></label>
  <label>Find <input id="find" placeholder="server, VM, event"></label>
  <button id="in">Zoom in</button><button id="out">Zoom out</button><button id="all">Show all</button>
</p>
<div id="summary"></div>
<div id="legend"></div>
<svg id="lanes"></svg>
<table id="list"></table>
<script>
const data = @DATA@;
const groups = [
  ['change', '#1668c5', /^change/], ['member', '#7a4fbf', /^member/],
  ['leaving or gone', '#c77700', /^server(Leaving|Gone|LastCallEnded)/],
  ['server', '#2a8f4d', /^server/], ['refusal or budget', '#c62828', /^(callRefused|budget)/],
  ['retry or hedge', '#d1549b', /^call/], ['pause or store', '#555', /^(pause|store)/],
  ['process', '#00838f', /^process/]];
const groupOf = e => groups.find(g => g[2].test(e.kind)) || groups[7];
const at = e => e.at.wallMs + e.at.counter / 1000;
const events = data.events.slice();
const byName = new Intl.Collator('en', {numeric: true}).compare;
const processes = [...new Set(events.map(e => e.process))].sort(byName);
const lanes = ['store', ...processes];
const versions = [...new Set(events.filter(e => /^change/.test(e.kind)).map(e => e.version))]
  .filter(v => v > 0).sort((a, b) => a - b);
const first = events.length ? at(events[0]) : 0;
const last = events.length ? at(events[events.length - 1]) : 1;
let from = first, to = Math.max(last, first + 1);
let chosen = 0;
const $ = id => document.getElementById(id);
const labelWidth = 190, top0 = 34, laneHeight = 26;

function pad() { const w = (to - from) * 0.03 + 1; from -= w; to += w; }
function width() { return $('lanes').clientWidth || 1200; }
function x(t) { return labelWidth + (t - from) / (to - from) * (width() - labelWidth - 20); }
function y(p) { return top0 + lanes.indexOf(p) * laneHeight + laneHeight / 2; }
function clock(t, fine) {
  const s = new Date(t).toISOString().slice(11, 23);
  return fine ? s : s.slice(0, 8);
}
function node(name, attributes, text) {
  const n = document.createElementNS('http://www.w3.org/2000/svg', name);
  for (const k in attributes) n.setAttribute(k, attributes[k]);
  if (text !== undefined) n.textContent = text;
  return n;
}
function describe(e) {
  return clock(at(e), true) + '  ' + e.process + '  ' + e.kind + '  ' + e.subject +
    (e.version ? '  version ' + e.version : '') + (e.reason !== 'ok' ? '  ' + e.reason : '') +
    (e.detail ? '  ' + e.detail : '');
}
function found(e) {
  const text = $('find').value.toLowerCase();
  return !text || describe(e).toLowerCase().includes(text);
}
// For each process: the event from which on this version or a later one was in force.
function applied(version) {
  const out = new Map();
  for (const e of events)
    if (e.kind === 'changeApplied' && e.version >= version && !out.has(e.process))
      out.set(e.process, e);
  return out;
}
function origin(version) {
  return events.find(e => /^change/.test(e.kind) && e.version === version);
}
function drawAxis(svg) {
  const steps = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 3e4, 6e4, 3e5, 6e5, 3.6e6];
  const step = steps.find(s => (to - from) / s <= 10) || 3.6e6;
  for (let t = Math.ceil(from / step) * step; t <= to; t += step) {
    svg.append(node('line', {x1: x(t), x2: x(t), y1: top0 - 6, y2: svg.dataset.height, class: 'grid'}));
    svg.append(node('text', {x: x(t) + 2, y: 16}, clock(t, step < 1000)));
  }
}
function drawPath(svg) {
  const start = origin(chosen);
  if (!start) return;
  const on = applied(chosen);
  for (const [process, e] of on) {
    // The detail of changeSeen names the source of the change: the store or a peer.
    const seen = events.find(s => s.kind === 'changeSeen' && s.version === e.version && s.process === process);
    const source = seen && on.has(seen.detail) ? seen.detail : 'store';
    const x1 = source === 'store' ? x(at(start)) : x(at(on.get(source)));
    const y1 = y(source), x2 = x(at(e)), y2 = y(process);
    svg.append(node('path', {class: 'path', d: `M${x1},${y1} C${(x1 + x2) / 2},${y1} ${(x1 + x2) / 2},${y2} ${x2},${y2}`}));
  }
}
function draw() {
  const svg = $('lanes');
  svg.replaceChildren();
  const height = top0 + lanes.length * laneHeight + 8;
  svg.style.height = height + 'px';
  svg.dataset.height = height;
  drawAxis(svg);
  for (const p of lanes)
    svg.append(node('line', {x1: labelWidth, x2: width(), y1: y(p), y2: y(p), class: 'lane'}));
  drawPath(svg);
  const stacked = new Map();
  for (const e of events) {
    const t = at(e);
    if (t < from || t > to || !found(e)) continue;
    // Stacks marks that would overlap.
    const slot = e.process + '/' + Math.round(x(t) / 5);
    const level = stacked.get(slot) || 0;
    stacked.set(slot, level + 1);
    const mark = node('circle', {cx: x(t), cy: y(e.process) - Math.min(level, 3) * 4, r: 4.5,
      fill: groupOf(e)[1], class: chosen && e.version !== chosen ? 'faded' : ''});
    mark.append(node('title', {}, describe(e)));
    svg.append(mark);
  }
  for (const p of lanes) {
    svg.append(node('rect', {x: 0, y: y(p) - laneHeight / 2, width: labelWidth - 6, height: laneHeight, fill: '#fff'}));
    svg.append(node('text', {x: 8, y: y(p) + 4}, p));
  }
  drawSummary();
  drawList();
}
function drawSummary() {
  const start = origin(chosen);
  if (!start) { $('summary').textContent = 'Choose a change to see how it reached each process.'; return; }
  const on = applied(chosen);
  const times = [...on.values()].map(e => at(e) - at(start));
  $('summary').textContent = `Version ${chosen} (${start.subject}): first seen at ` +
    `${clock(at(start), true)} on ${start.process}; in force on ${on.size} of ${processes.length} processes` +
    (times.length ? `, the last one ${(Math.max(...times) / 1000).toFixed(3)} s later` : '');
}
function drawList() {
  const shown = events.filter(e => at(e) >= from && at(e) <= to && found(e) && (!chosen || e.version === chosen)).slice(0, 400);
  const table = $('list');
  table.replaceChildren();
  const head = table.insertRow();
  for (const name of ['Time (UTC)', 'Process', 'Event', 'Subject', 'Version', 'Reason', 'Detail']) {
    const cell = document.createElement('th');
    cell.textContent = name;
    head.append(cell);
  }
  for (const e of shown) {
    const row = table.insertRow();
    for (const value of [clock(at(e), true), e.process, e.kind, e.subject, e.version || '',
        e.reason === 'ok' ? '' : e.reason, e.detail])
      row.insertCell().textContent = value;
  }
}
function zoom(factor, center) {
  const c = center === undefined ? (from + to) / 2 : center;
  from = c - (c - from) * factor;
  to = c + (to - c) * factor;
  if (to - from < 2) { from = c - 1; to = c + 1; }
  draw();
}
function showChange() {
  chosen = Number($('change').value);
  const start = origin(chosen);
  if (start) {
    const ends = [...applied(chosen).values()].map(at);
    from = at(start); to = Math.max(at(start) + 20, ...ends);
    pad();
  }
  draw();
}
for (const g of groups) {
  const item = document.createElement('span');
  item.innerHTML = `<i style="background:${g[1]}"></i>${g[0]}`;
  $('legend').append(item);
}
$('change').append(new Option('none', 0));
for (const v of versions) {
  const start = origin(v);
  const done = events.find(e => e.kind === 'changeApplied' && e.version === v);
  $('change').append(new Option(`version ${v}${done ? ' by ' + done.detail : ''} (${start.subject})`, v));
}
$('note').textContent = `${events.length} events of ${processes.length} processes, ` +
  `${events.length ? clock(first) + ' to ' + clock(last) + ' UTC' : 'none'}` +
  (data.silent.length ? `; no answer from ${data.silent.join(', ')}` : '') +
  (data.dropped ? `; ${data.dropped} older events no longer kept` : '') +
  '. Wheel: zoom. Drag: move.';
$('change').onchange = showChange;
$('find').oninput = draw;
$('in').onclick = () => zoom(0.5);
$('out').onclick = () => zoom(2);
$('all').onclick = () => { from = first; to = Math.max(last, first + 1); pad(); draw(); };
$('lanes').onwheel = e => {
  e.preventDefault();
  const share = (e.offsetX - labelWidth) / (width() - labelWidth - 20);
  zoom(e.deltaY < 0 ? 0.8 : 1.25, from + share * (to - from));
};
let grabbed = null;
$('lanes').onmousedown = e => { grabbed = {x: e.clientX, from, to}; };
onmouseup = () => { grabbed = null; };
onmousemove = e => {
  if (!grabbed) return;
  const shift = (grabbed.x - e.clientX) / (width() - labelWidth - 20) * (grabbed.to - grabbed.from);
  from = grabbed.from + shift; to = grabbed.to + shift;
  draw();
};
onresize = draw;
pad();
draw();
</script>
</html>
)html";

} // namespace cumingauge::ctl
