import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { divideIntoCells, type HostWithZone, MAXIMUM_HOSTS_PER_CELL } from "./index.js";

const fleets = fc.uniqueArray(
    fc.record({ host: fc.string({ minLength: 1, maxLength: 6 }), zone: fc.constantFrom("a", "b", "c") }),
    { selector: ({ host }) => host, maxLength: 120 },
);

function cellOf(cells: readonly HostWithZone[][], host: string): string[] {
    return cells.find(cell => cell.some(member => member.host === host))?.map(member => member.host) ?? [];
}

test("each host is in one cell, no cell exceeds the maximum size, and the order of the input does not matter", () => {
    fc.assert(fc.property(fleets, fleet => {
        const cells = divideIntoCells(fleet);
        assert.deepEqual(cells.flat().map(({ host }) => host).sort(), fleet.map(({ host }) => host).sort());
        assert.ok(cells.every(({ length }) => length > 0 && length <= MAXIMUM_HOSTS_PER_CELL));
        assert.deepEqual(divideIntoCells([...fleet].reverse()), cells);
    }));
});

test("a fleet no larger than the maximum cell is one cell", () => {
    const fleet = Array.from(
        { length: MAXIMUM_HOSTS_PER_CELL },
        (_, index) => ({ host: `e${index}`, zone: `z${index % 3}` }),
    );
    assert.equal(divideIntoCells(fleet).length, 1);
});

test("in a large fleet, only one cell at each zone border spans two zones", () => {
    const fleet = Array.from({ length: 195 }, (_, index) => ({ host: `e${index}`, zone: `z${index % 5}` }));
    const mixed = divideIntoCells(fleet).filter(cell => new Set(cell.map(({ zone }) => zone)).size > 1);
    assert.ok(mixed.length <= 4, `${mixed.length} cells span more than one zone`);
});

test("after the removal of a host, most hosts keep most of their cell peers", () => {
    const fleet = Array.from({ length: 190 }, (_, index) => ({ host: `e${1_000 + index}`, zone: `z${index % 5}` }));
    const before = divideIntoCells(fleet);
    const after = divideIntoCells(fleet.filter(({ host }) => host !== "e1077"));
    const kept = fleet.filter(({ host }) => {
        const peers = cellOf(before, host);
        return peers.filter(peer => cellOf(after, host).includes(peer)).length >= peers.length * 0.8;
    });
    assert.ok(kept.length >= fleet.length * 0.9, `${kept.length} of ${fleet.length}`);
});
