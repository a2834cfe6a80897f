import assert from "node:assert/strict";
import { test } from "node:test";
import { TurnBudget } from "./turnBudget.js";

interface Turns {
    readonly piecesOfTurns: number[];
    readonly budget: TurnBudget;
    readonly runTurns: () => void;
}

function createTurns(pieces: number, millisecondsOfPiece: number): Turns {
    let left = pieces;
    let now = 0;
    let done = 0;
    const scheduled: (() => void)[] = [];
    const piecesOfTurns: number[] = [];
    const budget = new TurnBudget({
        work: () => {
            left -= 1;
            done += 1;
            now += millisecondsOfPiece;
            return left > 0;
        },
        readClock: () => now,
        schedule: callback => scheduled.push(callback),
    });
    const runTurns = (): void => {
        for (let turn = scheduled.shift(); turn !== undefined; turn = scheduled.shift()) {
            done = 0;
            turn();
            piecesOfTurns.push(done);
        }
    };
    return { piecesOfTurns, budget, runTurns };
}

test("no turn is held for longer than 4 ms and the piece that was begun", () => {
    const { budget, piecesOfTurns, runTurns } = createTurns(5, 2);
    budget.start();
    budget.start();
    runTurns();
    assert.deepEqual(piecesOfTurns, [2, 2, 1]);
});

test("a clock that stands still while the process computes does not let all work into one turn", () => {
    const { budget, piecesOfTurns, runTurns } = createTurns(9, 0);
    budget.start();
    runTurns();
    assert.deepEqual(piecesOfTurns, [4, 4, 1]);
});

test("work that takes longer than a turn goes on all the same, and ends with a close", () => {
    const { budget, piecesOfTurns, runTurns } = createTurns(3, 100);
    budget.start();
    runTurns();
    assert.deepEqual(piecesOfTurns, [1, 1, 1]);
    budget.close();
    budget.start();
    runTurns();
    assert.deepEqual(piecesOfTurns, [1, 1, 1]);
});
