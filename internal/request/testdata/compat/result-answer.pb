
text/plainwhole(