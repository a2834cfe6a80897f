import assert from "node:assert/strict";
import { test } from "node:test";
import { PacedSends } from "./index.js";

const ADDRESSES = Array.from({ length: 11 }, (_, index) => `10.0.0.${index}:7380`);

/** What the narrowest link of a host carries in a millisecond: 7 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 875;

test("what goes to a whole cell leaves no faster than a narrow link carries it, and to another host first each time", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let now = 0;
    const sent: { readonly address: string; readonly bytes: number; readonly at: number; }[] = [];
    const sends = new PacedSends(({ address, bytes }) => sent.push({ address, bytes: bytes.length, at: now }));
    const firsts = new Set<string>();
    for (let round = 0; round < ADDRESSES.length; round += 1) {
        const before = sent.length;
        sends.offer(Buffer.alloc(12_000), ADDRESSES);
        for (let step = 0; step < 500; step += 1) {
            context.mock.timers.tick(1);
            now += 1;
        }
        const told = sent.slice(before);
        assert.deepEqual(told.map(({ address }) => address).sort(), [...ADDRESSES].sort());
        told.slice(1).forEach(({ at, bytes }, index) => {
            const gap = at - (told[index]?.at ?? 0);
            assert.ok(bytes <= gap * LINK_BYTES_PER_MILLISECOND, `${bytes} bytes ${gap} ms after the one before`);
        });
        firsts.add(told[0]?.address ?? "");
    }
    assert.equal(firsts.size, ADDRESSES.length);
    sends.close();
});

test("small datagrams leave at once, also while larger ones wait", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const sent: number[] = [];
    const sends = new PacedSends(({ bytes }) => sent.push(bytes.length));
    sends.offer(Buffer.alloc(5_000), ADDRESSES);
    sends.offer(Buffer.alloc(80), ADDRESSES);
    assert.equal(sent.filter(bytes => bytes === 80).length, ADDRESSES.length);
    assert.ok(sent.filter(bytes => bytes === 5_000).length < ADDRESSES.length);
    sends.close();
});

test("however much is queued has left soon after a quarter of a second", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let sent = 0;
    const sends = new PacedSends(() => {
        sent += 1;
    });
    for (let offer = 0; offer < 8; offer += 1) {
        sends.offer(Buffer.alloc(40_000), ADDRESSES);
    }
    for (let step = 0; step < 400; step += 1) {
        context.mock.timers.tick(1);
    }
    assert.equal(sent, 8 * ADDRESSES.length);
    sends.close();
});
