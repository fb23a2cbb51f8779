"""Writes the report: a table, JSON and a self-contained HTML page."""

import dataclasses
import html
import json
import pathlib
from typing import Any

from bench import figures
from bench import phases
from bench import workload
from devtools import load

_OUT = pathlib.Path(__file__).parent / "out"
_SHARES = (0.5, 0.9, 0.95, 0.99)
_COLOURS = {"system": "#2a6f97", "naive": "#c1666b"}
_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}"
    "td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}"
    "table{border-collapse:collapse}.no{color:#b00}.yes{color:#070}"
)


@dataclasses.dataclass(slots=True)
class Result:
    """Figures and readings of one version in one deployment."""

    organisation: str
    version: str
    figures: list[figures.Figure]
    first_token_ms: dict[str, dict[str, float | None]]
    cpu: dict[str, dict[str, float]]
    bursts: list[phases.Burst]
    statuses: dict[str, dict[str, int]]


def make_result(
    org: workload.Organisation, version: str, run: phases.Run
) -> Result:
    """Returns the reported result of a run."""
    named = {
        "entries at half load": run.entry_half,
        "engines directly": run.direct_half,
        "online alone": run.online_only,
        "one at 5 times its rate": run.excess,
        "online with batch": run.online_with_batch,
    }
    return Result(
        organisation=org.name,
        version=version,
        figures=figures.figures(org, run),
        first_token_ms={
            name: _percentiles(figures.first_tokens(phase))
            for name, phase in named.items()
        },
        cpu={name: phase.cpu for name, phase in named.items()},
        bursts=run.bursts,
        statuses={n: _statuses(p.outcomes) for n, p in named.items()},
    )


def _percentiles(values: list[float]) -> dict[str, float | None]:
    return {
        f"p{share * 100:g}": load.percentile(values, share) for share in _SHARES
    }


def _statuses(outcomes: list[load.Outcome]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for outcome in outcomes:
        done = "complete" if outcome.complete else outcome.code or "incomplete"
        kind = f"{outcome.status} {done}"
        counts[kind] = counts.get(kind, 0) + 1
    return counts


def print_table(results: list[Result]) -> None:
    """Prints each figure beside its target."""
    for result in results:
        print(f"\n{result.organisation}, {result.version}")
        for figure in result.figures:
            bound = "<=" if figure.at_most else ">="
            print(
                f"  {figure.name:48}{_number(figure.value):>9}"
                f"  {bound} {figure.target:<6g}"
                f" {'met' if figure.met else 'MISSED':7}{figure.note}"
            )
        peaks = {
            kind: max(cpu.get(kind, 0) for cpu in result.cpu.values())
            for kind in ("load generator", "entry", "worker", "engine")
        }
        print(f"  highest share of a core in any phase: {peaks}")
        print(f"  answers: {result.statuses}")


def write(results: list[Result], elapsed_s: float) -> pathlib.Path:
    """Writes `bench/out/report.json` and `.html`; returns the directory."""
    _OUT.mkdir(exist_ok=True)
    report = {
        "seed": workload.SEED,
        "elapsed_s": round(elapsed_s, 1),
        "results": [_to_json(result) for result in results],
    }
    (_OUT / "report.json").write_text(json.dumps(report, indent=2))
    (_OUT / "report.html").write_text(_page(results))
    return _OUT


def _to_json(result: Result) -> dict[str, Any]:
    value = dataclasses.asdict(result)
    for figure, row in zip(result.figures, value["figures"], strict=True):
        row["met"] = figure.met
    return value


def _page(results: list[Result]) -> str:
    parts = [
        "<!doctype html><meta charset=utf-8><title>Lacewingwood bench</title>",
        f"<style>{_STYLE}</style><h1>Lacewingwood bench</h1>",
        f"<p>Seed {workload.SEED}. Bars of a figure share one scale; the line"
        " is the target.</p>",
    ]
    for name in dict.fromkeys(r.organisation for r in results):
        mine = [r for r in results if r.organisation == name]
        parts.append(f"<h2>{html.escape(name)}</h2>")
        parts.append(_table(mine))
        parts.append("<h3>Time to first token, ms</h3>")
        for phase in mine[0].first_token_ms:
            parts.append(_phase_bars(phase, mine))
    return "\n".join(parts)


def _table(results: list[Result]) -> str:
    rows = ["<tr><th>Figure<th>Target<th>Version<th>Value<th>Met<th>Seen</tr>"]
    for group in zip(*(r.figures for r in results), strict=True):
        for result, figure in zip(results, group, strict=True):
            bound = "≤" if figure.at_most else "≥"
            met = "yes" if figure.met else "no"
            rows.append(
                f"<tr><td>{html.escape(figure.name)}"
                f"<td>{bound} {figure.target:g}<td>{result.version}"
                f"<td>{_number(figure.value)}<td class={met}>{met}"
                f"<td>{html.escape(figure.note)}</tr>"
            )
        values = [f.value for f in group]
        bars = _bars([r.version for r in results], values, group[0].target)
        rows.append(f"<tr><td colspan=6>{bars}</tr>")
    return f"<table>{''.join(rows)}</table>"


def _phase_bars(phase: str, results: list[Result]) -> str:
    labels, values = [], []
    for share in results[0].first_token_ms[phase]:
        for result in results:
            labels.append(f"{result.version} {share}")
            values.append(result.first_token_ms[phase][share])
    return f"<h4>{html.escape(phase)}</h4>{_bars(labels, values)}"


def _bars(
    labels: list[str],
    values: list[float | None],
    target: float | None = None,
) -> str:
    """Returns horizontal bars as SVG."""
    top = max([1e-9, target or 0, *(v or 0 for v in values)])
    height = 18 * len(values)
    parts = [f'<svg width="640" height="{height}">']
    for row, (label, value) in enumerate(zip(labels, values, strict=True)):
        y = 18 * row
        width = 400 * max(0, value or 0) / top
        colour = _COLOURS[label.split()[0]]
        parts.append(
            f'<text x="0" y="{y + 13}">{html.escape(label)}</text>'
            f'<rect x="110" y="{y + 2}" width="{width:.1f}" height="14"'
            f' fill="{colour}"/>'
            f'<text x="{116 + width:.1f}" y="{y + 13}">{_number(value)}</text>'
        )
    if target is not None:
        x = 110 + 400 * target / top
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{height}"'
            ' stroke="#000"/>'
        )
    return "".join(parts) + "</svg>"


def _number(value: float | None) -> str:
    return "none" if value is None else f"{value:.3f}"
