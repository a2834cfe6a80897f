import assert from "node:assert/strict";
import { test } from "node:test";
import { ViewAge } from "./index.js";

const HOSTS = 12;
const WATCHERS = 3;
const STEP_MILLISECONDS = 50;

/** Upstreams that leave go on for two seconds at least. */
const DRAIN_MILLISECONDS = 2_000;

interface Question {
    readonly turn: number;
    readonly atMilliseconds: number;
}

/** Plays a cell in which the service answers some hosts; each answer reaches all hosts of the cell at once. */
function playCell(isAnswered: (turn: number) => boolean, milliseconds: number): Question[] {
    const views = Array.from({ length: HOSTS }, () => new ViewAge(0));
    const questions: Question[] = [];
    for (let now = 0; now <= milliseconds; now += STEP_MILLISECONDS) {
        for (const [turn, view] of views.entries()) {
            if (view.askAtMilliseconds(turn) > now) {
                continue;
            }
            questions.push({ turn, atMilliseconds: now });
            view.recordOutcome(isAnswered(turn), now);
            if (isAnswered(turn)) {
                views.forEach(each => each.recordConfirmed(now));
            }
        }
    }
    return questions;
}

/** Returns the longest time for which no question was answered. */
function longestSilence(questions: readonly Question[], isAnswered: (turn: number) => boolean): number {
    const times = [0, ...questions.filter(({ turn }) => isAnswered(turn)).map(({ atMilliseconds }) => atMilliseconds)];
    return Math.max(...times.slice(1).map((time, index) => time - (times[index] ?? 0)));
}

test("in calm times the first host of a cell asks for all, once a second", () => {
    const questions = playCell(() => true, 60_000);
    assert.deepEqual([...new Set(questions.map(({ turn }) => turn))], [0]);
    assert.equal(questions.length, 60);
});

test("where the hosts that ask first get no answers, the next ones ask in time, and those go on to ask rarely", () => {
    const isAnswered = (turn: number): boolean => turn >= WATCHERS;
    const questions = playCell(isAnswered, 60_000);
    assert.ok(longestSilence(questions, isAnswered) <= DRAIN_MILLISECONDS);
    const unanswered = questions.filter(({ turn }) => !isAnswered(turn));
    assert.ok(unanswered.length <= WATCHERS * 11, `${unanswered.length} questions got no answer`);
});

test("where the service answers nobody, each host asks no more than once in eight seconds after the first ones", () => {
    const questions = playCell(() => false, 60_000);
    assert.ok(questions.length <= HOSTS * 11, `${questions.length} questions`);
    const late = questions.filter(({ atMilliseconds }) => atMilliseconds > 52_000);
    assert.ok(late.length <= HOSTS, `${late.length} questions in the last eight seconds`);
});

test("a view that others confirm is not asked about, and an older confirmation takes nothing back", () => {
    const view = new ViewAge(0);
    view.recordConfirmed(900);
    view.recordConfirmed(400);
    assert.equal(view.ageMilliseconds(1_000), 100);
    assert.equal(view.askAtMilliseconds(0), 1_900);
});
