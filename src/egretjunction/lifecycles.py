"""Lifecycle state machines of daemons, loaded from statecharts in ``charts/``."""

import importlib.resources

import sismic.interpreter
import sismic.io

from egretjunction import logs


class Lifecycle:
    """A running statechart.

    :param chart: file name without its suffix, such as ``agent``.
    """

    __slots__ = ('_interpreter', '_state')

    def __init__(self, chart: str) -> None:
        folder = importlib.resources.files('egretjunction') / 'charts'
        text = (folder / f'{chart}.yaml').read_text(encoding='utf-8')
        statechart = sismic.io.import_from_yaml(text=text)
        self._interpreter = sismic.interpreter.Interpreter(statechart)
        self._interpreter.execute()
        self._state = self._interpreter.configuration[-1]

    @property
    def state(self) -> str:
        """Return the name of the innermost active state, or of the final state."""
        return self._state

    def send(self, event: str) -> bool:
        """Handle an event; an event without a transition in this state is ignored.

        :param event: name of the event.
        :return: whether the state changed.
        """
        before = self._state
        if self._interpreter.final:
            return False
        for step in self._interpreter.queue(event).execute():
            self._state = step.entered_states[-1] if step.entered_states else before
        if self._state == before:
            return False
        logs.get().info(
            'state_changed',
            before=before,
            state=self.state,
            trigger=event,
        )
        return True
