import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryBudget, type MemoryReservation } from "../../memory/index.js";
import { RequestMemory } from "./requestMemory.js";

const MACHINE_BYTES = 160_000_000;
const MEGABYTE = 1_000_000;
const PIECE_BYTES = 65_536;

/** A host whose clock is set by the test. */
class PlayedHost {
    readonly budget = new MemoryBudget({ machineBytes: MACHINE_BYTES });
    readonly refused: string[] = [];
    now = 0;
    /** Until when the host has read its sockets; the present by default. */
    readUntil: number | undefined;
    readonly requests: RequestMemory;

    constructor() {
        const readUntil = (): number => this.readUntil ?? this.now;
        this.requests = new RequestMemory({
            memory: this.budget,
            reads: {
                get readUntilMilliseconds() {
                    return readUntil();
                },
            },
            readClock: () => this.now,
        });
    }

    /** Begins a body that holds some memory; returns a function that records bytes of it. */
    begin(name: string, heldBytes: number, lengthBytes = 0): (bytes: number) => void {
        const reservation = this.requests.begin();
        assert.equal(reservation.tryReserve(heldBytes), true, name);
        const progress = this.requests.follow({
            reservation,
            lengthBytes,
            refuse: () => {
                this.refused.push(name);
                progress.close();
                reservation.release();
            },
        });
        return bytes => progress.record(bytes);
    }

    tryReserve(bytes: number): boolean {
        return this.requests.begin().tryReserve(bytes);
    }
}

test("bodies without progress are refused for a request, the one without it for longest first, and no more than needed", () => {
    const host = new PlayedHost();
    const first = host.begin("first", 6 * MEGABYTE);
    host.begin("second", 6 * MEGABYTE);
    host.now = 10;
    first(PIECE_BYTES);
    const lively = host.begin("lively", 6 * MEGABYTE);
    host.now = 2_000;
    lively(PIECE_BYTES);
    assert.equal(host.tryReserve(8 * MEGABYTE), true);
    assert.deepEqual(host.refused, ["second"]);
});

test("no body is refused where that makes too little room, or where it brings enough", () => {
    const host = new PlayedHost();
    host.begin("stalled", 2 * MEGABYTE);
    const lively = host.begin("lively", 18 * MEGABYTE);
    for (host.now = 0; host.now < 3_000; host.now += 100) {
        lively(2_000);
    }
    assert.equal(host.tryReserve(8 * MEGABYTE), false);
    assert.deepEqual(host.refused, []);
});

test("a body whose bytes a host that did not run has not read yet is not refused", () => {
    const host = new PlayedHost();
    host.begin("unread", 18 * MEGABYTE);
    host.readUntil = 100;
    host.now = 5_000;
    assert.equal(host.tryReserve(8 * MEGABYTE), false);
    host.readUntil = 5_000;
    assert.equal(host.tryReserve(8 * MEGABYTE), true);
});

test("a large body finds room beside what others bring, a small one beside what they hold", () => {
    const host = new PlayedHost();
    Array.from({ length: 5 }, (_, index) => host.begin(`large-${index}`, 20_000, 4 * MEGABYTE));
    assert.equal(host.requests.expectsRoomFor(4 * MEGABYTE), false);
    assert.equal(host.requests.expectsRoomFor(100_000), true);
    host.now = 2_000;
    assert.equal(host.requests.expectsRoomFor(4 * MEGABYTE), true, "the others bring nothing");
    assert.deepEqual(host.refused, []);
});

test("bodies that each hold a part and grow in any order all end, and one of them was read whole", () => {
    const lengthBytes = 4 * MEGABYTE;
    fc.assert(fc.property(fc.array(fc.nat(11), { minLength: 1, maxLength: 40 }), order => {
        const host = new PlayedHost();
        const growing = new Map<number, MemoryReservation>(
            Array.from({ length: 12 }, (_, index) => [index, host.requests.begin()]),
        );
        let readWhole = 0;
        for (let step = 0; growing.size > 0; step += 1) {
            assert.ok(step < 2_000, "the bodies do not end");
            const index = step < order.length ? order[step] ?? 0 : step % 12;
            const reservation = growing.get(index);
            if (reservation !== undefined && !reservation.tryReserve(lengthBytes / 16)) {
                growing.delete(index);
                reservation.release();
            }
            else if (reservation !== undefined && reservation.bytes >= lengthBytes) {
                growing.delete(index);
                readWhole += 1;
            }
        }
        assert.ok(readWhole > 0);
    }));
});
